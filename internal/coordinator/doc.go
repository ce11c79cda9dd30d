// Package coordinator elects one entry of a region as the coordinator, which assigns the region's jobs to
// workers. The coordinator loads and watches the jobs in the store, commits the planner's decisions, and keeps
// a link to each agent.
package coordinator
