package client

import (
	"net"
	"time"
)

const keepAliveInterval = 5 * time.Second

// newDialer returns a dialer whose connections send TCP keep-alive probes, which
// detect a dead host on an open but idle connection.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    2,
		},
	}
}
