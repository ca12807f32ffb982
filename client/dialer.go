package client

import (
	"net"
	"time"
)

const keepAliveInterval = 5 * time.Second

// newDialer returns a dialer whose connections send TCP keep-alive probes. They
// detect a dead host on a connection that is open but idle.
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
