package ctrl

import (
	"sync"
	"time"
)

// Every calls step once a period in the background until step returns false or stop
// is called. stop waits for a running call and must be called only once.
func Every(period time.Duration, step func() bool) (stop func()) {
	quit := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		tick := time.NewTicker(period)
		defer tick.Stop()
		for {
			select {
			case <-quit:
				return
			case <-tick.C:
				if !step() {
					return
				}
			}
		}
	})
	return func() {
		close(quit)
		wait.Wait()
	}
}
