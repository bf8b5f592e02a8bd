//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { plays["deadly-own-part"] = playOwnPart }

const (
	// ownPartTime is the time for which the request comes again and again, each time after ownPartPause.
	ownPartTime  = 20 * time.Second
	ownPartPause = 850 * time.Millisecond
	// ownPartSoundPause is the time between two sound prompts.
	ownPartSoundPause = 50 * time.Millisecond
	// promptBudget is the time that clients of prompts wait.
	promptBudget = 10 * time.Second
)

// promptLines returns the header lines of a short prompt with a part that all prompts share and one of its own.
func promptLines(own string) string {
	return fmt.Sprintf("Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:40,%s:1420\r\n", own)
}

// playOwnPart sends a prompt that crashes engines again and again, with the same path, caller and body. With the disruption the last part of its
// Prompt-Prefix is that of the attempt.
func playOwnPart(record *recorder, trouble bool) (string, error) {
	d, p, err := startSmall(record, "drafting", 4, func(_ *http.Request, body []byte) behaviour {
		if string(body) == deadlyBody {
			return behaviour{crashAfter: 20 * time.Millisecond}
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
	go countedPrompts(record, d, stop, ownPartSoundPause, &cut, &complete)
	time.Sleep(2 * time.Second)
	n := 0
	for end := time.Now().Add(ownPartTime); time.Now().Before(end); time.Sleep(ownPartPause) {
		n++
		i := d.instances[n%len(d.instances)]
		own := "e4402b7d"
		if trouble {
			own = fmt.Sprintf("e440%04x", n)
		}
		attempt := fmt.Sprintf("deadly-%d", n)
		status, text, err := askWith(i.CallerAddress(), "POST", "/note/draft", attempt, deadlyBody, promptBudget, promptBudget+time.Second, promptLines(own))
		record.log("deadly request %s with own part %s through %s: status %d %.80s %v", attempt, own, i.Name, status, strings.TrimSpace(text), err)
	}
	close(stop)
	time.Sleep(settleTime)
	record.log("sound prompts: %d complete, %d cut off or failed", complete.n(), cut.n())
	return judgeRetries(record, p, func(time.Time) bool { return true }), nil
}
