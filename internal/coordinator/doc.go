// Package coordinator elects one entry of a region to place the region's jobs, and runs that entry's
// work: it loads and follows the jobs in the store, commits the planner's decisions, and keeps a link
// to each agent.
package coordinator
