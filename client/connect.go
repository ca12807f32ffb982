package client

import (
	"net"
	"time"
)

const keepAlive = 5 * time.Second

// newDialer notices a dead peer soon, because open connections can go silent.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAlive,
			Interval: keepAlive,
			Count:    2,
		},
	}
}
