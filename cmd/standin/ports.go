package main

import (
	"context"
	"fmt"
	"net"
)

// portsCommand prints free loopback ports, for scripts that write settings before they start processes.
type portsCommand struct {
	Count int `arg:"positional,required" help:"number of ports"`
}

func (c *portsCommand) run(context.Context) error {
	for range c.Count {
		// The listeners stay open until the process ends, so that the ports are different.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
	return nil
}
