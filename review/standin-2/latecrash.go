//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { plays["late-crash"] = playLateCrash }

const (
	// badPart is the part of prompts that crashes engines.
	badPart = "bad0c0de"
	// lateCrash is the time from the first event to the crash.
	lateCrash = 700 * time.Millisecond
	// lateCrashTime is the time for which prompts with the part come, each after lateCrashPause.
	lateCrashTime  = 40 * time.Second
	lateCrashPause = time.Second
	// soundPause is the time between two sound prompts, and settleTime that in which the last ones end.
	soundPause = 200 * time.Millisecond
	settleTime = 5 * time.Second
	// maxAfterFifth is the number of requests that the rule allows after the fifth crash.
	maxAfterFifth = 3
)

// playLateCrash sends prompts with a part that crashes engines some time after their first event, no two alike.
func playLateCrash(record *recorder, trouble bool) (string, error) {
	d, p, err := startSmall(record, "drafting", 4, func(r *http.Request, _ []byte) behaviour {
		if strings.Contains(r.Header.Get("Prompt-Prefix"), badPart) {
			return behaviour{crashAfterFirst: lateCrash}
		}
		return behaviour{}
	})
	if err != nil {
		return "", err
	}
	defer d.close()
	defer p.close()
	stop := make(chan struct{})
	var cut, complete counter
	go countedPrompts(record, d, stop, soundPause, &cut, &complete)
	time.Sleep(2 * time.Second)
	for n := 0; trouble && n < int(lateCrashTime/lateCrashPause); n++ {
		go func() {
			i := d.instances[n%len(d.instances)]
			attempt := fmt.Sprintf("bad-%d", n)
			lines := fmt.Sprintf("Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:40,%s:20,%08x:1400\r\n", badPart, 0xb0000+n)
			status, text, err := askWith(i.CallerAddress(), "POST", "/note/draft", attempt, "bad "+attempt, promptBudget, promptBudget+time.Second, lines)
			record.log("bad prompt %s through %s: status %d %.90s %v", attempt, i.Name, status, strings.TrimSpace(text), err)
		}()
		time.Sleep(lateCrashPause)
	}
	if !trouble {
		time.Sleep(lateCrashTime)
	}
	close(stop)
	time.Sleep(settleTime)
	record.log("sound prompts: %d complete, %d cut off or failed", complete.n(), cut.n())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	record.log("%d engines have crashed", len(p.crashes))
	if len(p.crashes) < 5 {
		return "", nil
	}
	after, n := p.crashes[4].at.Add(contactTime), 0
	for _, a := range p.arrivals {
		if strings.Contains(a.parts, badPart) && a.at.After(after) {
			n++
			record.log("%d: %s reached %s %.1f s after the fifth crash", n, a.attempt, a.server, a.at.Sub(p.crashes[4].at).Seconds())
		}
	}
	if n > maxAfterFifth {
		return fmt.Sprintf("%d requests with a part that crashes servers reached servers later than %v after the fifth crash", n, contactTime), nil
	}
	return "", nil
}
