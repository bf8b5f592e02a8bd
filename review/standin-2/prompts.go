//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// counter is a number that several goroutines raise.
type counter struct{ v atomic.Int64 }

func (c *counter) n() int64 { return c.v.Load() }

// countedPrompts sends sound prompts, each after a pause, until stop is closed, and counts those that are complete and those that are not.
func countedPrompts(record *recorder, d *deployment, stop chan struct{}, pause time.Duration, cut, complete *counter) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		go func() {
			i := d.instances[n%len(d.instances)]
			attempt := fmt.Sprintf("sound-%d", n)
			status, _, err := askWith(i.CallerAddress(), "POST", "/note/draft", attempt, "prompt "+attempt, promptBudget, promptBudget+time.Second, promptLines(fmt.Sprintf("%08x", n+1)))
			if status != http.StatusOK {
				cut.v.Add(1)
				record.log("sound prompt %s through %s: status %d, %v", attempt, i.Name, status, err)
				return
			}
			complete.v.Add(1)
		}()
	}
}
