//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

const (
	// contactTime is contact_ms of the small sites.
	contactTime = 3 * time.Second
	// budget is the time that clients wait.
	budget = 4 * time.Second
)

// startSmall starts three instances in three zones with the servers of a service.
func startSmall(record *recorder, service string, each int, behave func(r *http.Request, body []byte) behaviour) (d *deployment, p *pool, err error) {
	d, err = newDeployment(record, configuration)
	if err != nil {
		return nil, nil, err
	}
	zones := []string{"north", "middle", "south"}
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	p, err = d.newPool(service, zones, each, behave)
	if err != nil {
		return nil, nil, err
	}
	for n, zone := range zones {
		output, err := os.Create(filepath.Join(d.directory, fmt.Sprintf("instance-%d.log", n)))
		if err != nil {
			return nil, nil, err
		}
		i, err := d.add(fmt.Sprintf("instance-%d", n), zone, 284, output)
		if err != nil {
			return nil, nil, err
		}
		if err := i.start(); err != nil {
			return nil, nil, err
		}
	}
	if !d.awaitReady(15 * time.Second) {
		return nil, nil, fmt.Errorf("the instances did not become ready")
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	return d, p, nil
}

// sound sends fifty sound bookings a second until stop is closed. It records those that got no success, and counts them.
func sound(record *recorder, d *deployment, stop chan struct{}, lost *atomic.Int64) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		go func() {
			i := d.instances[n%len(d.instances)]
			attempt := fmt.Sprintf("sound-%d", n)
			status, _, err := ask(i.CallerAddress(), "POST", "/book/clean", attempt, "a booking", budget, budget+time.Second)
			if status != http.StatusOK {
				lost.Add(1)
				record.log("sound booking %s through %s: status %d, %v", attempt, i.Name, status, err)
			}
		}()
	}
}
