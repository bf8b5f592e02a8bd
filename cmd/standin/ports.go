package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
)

// portsCommand prints free loopback ports for scripts that write settings before they start the processes.
type portsCommand struct {
	Count int `arg:"positional,required" help:"number of ports"`
}

const (
	// firstPort is the lowest port that is tried.
	firstPort = 20_000
	// portRange is the number of ports that are tried. The range ends below the ephemeral ports, since an outgoing
	// connection could take such a port before the process that needs it starts.
	portRange = 12_000
)

func (c *portsCommand) run(context.Context) error {
	port := rand.IntN(portRange)
	for found, tried := 0, 0; found < c.Count; tried++ {
		if tried == portRange {
			return fmt.Errorf("only %d free ports from %d to %d", found, firstPort, firstPort+portRange-1)
		}
		port = (port + 1) % portRange
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+port))
		if err != nil {
			continue
		}
		defer l.Close()
		fmt.Println(firstPort + port)
		found++
	}
	return nil
}
