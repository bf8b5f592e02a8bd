//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["log"] = playLog }

const (
	// memoryMB is memory_mb of the small sites.
	memoryMB = 284
	// crowdSize is the number of clients at each instance, as in the project's own tests of clients outside the limits.
	crowdSize = 250
	// headBytes is the size of the heads of the crowd's requests, inside max_header_bytes.
	headBytes = 16000
	// crowdTime is the longest time for which the crowd is there.
	crowdTime = 60 * time.Second
	// killsPerMachine and killedMachines are the ends of processes that the rule counts as a fault.
	killsPerMachine = 3
	killedMachines  = 2
	restartDelay    = 500 * time.Millisecond
)

// guarded is an instance whose process is killed when it has more memory than its machine, and started again, as the platform does.
type guarded struct {
	*instance
	kills atomic.Int64
	peak  atomic.Int64
}

// run watches the memory until stop is closed.
func (g *guarded) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if !g.alive() {
			g.d.record.log("%s has ended by itself", g.Name)
			g.kills.Add(1)
			time.Sleep(restartDelay)
			_ = g.start()
			continue
		}
		now := g.memory("VmRSS")
		g.peak.Store(max(g.peak.Load(), now))
		if now <= memoryMB<<20 {
			continue
		}
		g.d.record.log("%s has %d MB of resident memory, its machine %d MB: the platform kills it", g.Name, now>>20, memoryMB)
		g.signal(syscall.SIGKILL)
		<-g.ended
		g.kills.Add(1)
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			g.d.record.log("%s does not start: %v", g.Name, err)
		}
	}
}

// crowdHead returns a request without a key. With the disruption its head is filled up with an id of characters that take six bytes in JSON.
func crowdHead(trouble bool) string {
	const text = "GET /read/roster HTTP/1.1\r\nHost: a.example\r\nTime-Budget-Ms: 4000\r\nAttempt-Id: %s\r\n\r\n"
	id := "9c41d07be2a35f68"
	if trouble {
		id = strings.Repeat("<", headBytes-len(text))
	}
	return fmt.Sprintf(text, id)
}

// crowdClient sends the head again and again on kept connections, each after the answer to the one before.
func crowdClient(address, head string, answered *atomic.Int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			_ = c.SetDeadline(time.Now().Add(crowdTime))
			for r := bufio.NewReader(c); ; answered.Add(1) {
				if _, err := io.WriteString(c, head); err != nil {
					break
				}
				response, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					break
				}
				select {
				case <-stop:
					_ = c.Close()
					return
				default:
				}
			}
			_ = c.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// playLog lets clients that are not controlled send heads inside the limits. What the processes log is read as fast as it comes.
func playLog(record *recorder, trouble bool) (string, error) {
	d, err := newDeployment(record, configuration)
	if err != nil {
		return "", err
	}
	defer d.close()
	zones := []string{"north", "middle", "south"}
	p, err := d.newPool("bookings", zones, 1, func(*http.Request, []byte) behaviour { return behaviour{} })
	if err != nil {
		return "", err
	}
	defer p.close()
	var logged atomic.Int64
	var list []*guarded
	for n, zone := range zones {
		reader, writer, err := os.Pipe()
		if err != nil {
			return "", err
		}
		go func() {
			for buffer := make([]byte, 256<<10); ; {
				n, err := reader.Read(buffer)
				if err != nil {
					return
				}
				logged.Add(int64(n))
			}
		}()
		i, err := d.add(fmt.Sprintf("instance-%d", n), zone, memoryMB, writer)
		if err != nil {
			return "", err
		}
		if err := i.start(); err != nil {
			return "", err
		}
		list = append(list, &guarded{instance: i})
	}
	if !d.awaitReady(15 * time.Second) {
		return "", errors.New("the instances did not become ready")
	}
	stop, watchers := make(chan struct{}), sync.WaitGroup{}
	for _, g := range list {
		watchers.Go(func() { g.run(stop) })
	}
	var answered atomic.Int64
	head := crowdHead(trouble)
	record.log("%d clients at each instance send requests with heads of %d bytes; max_header_bytes is 16384", crowdSize, len(head))
	var crowd sync.WaitGroup
	for _, g := range list {
		for range crowdSize {
			crowd.Go(func() { crowdClient(g.CallerAddress(), head, &answered, stop) })
		}
	}
	broken := ""
	served, failed := 0, 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && broken == ""; time.Sleep(200 * time.Millisecond) {
		g := list[(served+failed)%len(list)]
		status, _, err := ask(g.CallerAddress(), "POST", "/book/clean", fmt.Sprintf("ordinary-%d", served+failed), "a booking", 4*time.Second, 5*time.Second)
		if status == http.StatusOK {
			served++
		} else {
			failed++
			record.log("ordinary booking through %s: status %d, %v", g.Name, status, err)
		}
		machines := 0
		for _, g := range list {
			if g.kills.Load() >= killsPerMachine {
				machines++
			}
		}
		if machines >= killedMachines {
			broken = fmt.Sprintf("processes of %d of %d machines have ended %d times or more because they had more than %d MB", machines, len(list), killsPerMachine, memoryMB)
		}
	}
	close(stop)
	watchers.Wait()
	for _, g := range list {
		record.log("%s: %d ends, peak of resident memory %d MB", g.Name, g.kills.Load(), g.peak.Load()>>20)
	}
	record.log("the crowd got %d answers; %d MB were logged; ordinary bookings: %d served, %d not", answered.Load(), logged.Load()>>20, served, failed)
	d.close()
	crowd.Wait()
	return broken, nil
}
