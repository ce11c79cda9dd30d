// Package losses explains from the coordinators' log lines why jobs were not in time: for each job the chain of waits
// and runs between its submission and its end, and for each queue the sums over its late jobs, what the coordinators
// decided about its jobs, and the work of those without an end. It reads no files and no clock.
package losses
