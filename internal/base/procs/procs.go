// Package procs sets how many threads of a process run Go code at the same time.
package procs

import "runtime"

const (
	// least is the least number of threads. The network layer of the callers' connections waits for
	// events in a system call that keeps its thread's processor until the runtime takes it away. With
	// one thread, nothing else of the process runs meanwhile: answers of endpoints and messages of
	// peer hosts wait.
	least = 2
	// minCores is the number of cores from which a host gets the least number: waking a second thread
	// costs processor time too, of which smaller hosts have too little.
	minCores = 0.3
)

// Raise raises the number of threads to the least one, for machines with one core, unless the host
// may use fewer than minCores of it. cores is what it may use, 0 if that is not known. Raise returns
// the number in force.
func Raise(cores float64) int {
	if (cores == 0 || cores >= minCores) && runtime.GOMAXPROCS(0) < least {
		runtime.GOMAXPROCS(least)
	}
	return runtime.GOMAXPROCS(0)
}
