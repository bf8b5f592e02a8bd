package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
)

// portsCommand prints free loopback ports, for scripts that write settings before they start processes.
type portsCommand struct {
	Count int `arg:"positional,required" help:"number of ports"`
}

// The range lies below the one from which the system takes ports for connections, which could take a port between its
// choice and its use.
const (
	firstPort = 20_000
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
