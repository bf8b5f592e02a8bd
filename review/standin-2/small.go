//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	// contactTime is contact_ms of the small sites.
	contactTime = 3 * time.Second
	// budget is the time that clients wait.
	budget = 4 * time.Second
)

// startSmall starts three instances in three zones with the servers of a service.
func startSmall(record *recorder, service string, each int, behave func(r *http.Request, body []byte) behaviour) (*deployment, *pool, error) {
	d, err := newDeployment(record, configuration)
	if err != nil {
		return nil, nil, err
	}
	zones := []string{"north", "middle", "south"}
	p, err := d.newPool(service, zones, each, behave)
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
		d.close()
		return nil, nil, fmt.Errorf("the instances did not become ready")
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	return d, p, nil
}
