package host

import (
	"context"

	"cicadapitch.example/cicadapitch"
)

// Ping is what one host sends another.
type Ping struct {
	// Self is the sender's own record.
	Self cicadapitch.Member
	// Records are other records that the sender knows.
	Records []cicadapitch.Member
}

// Ack answers a Ping.
type Ack struct {
	Self    cicadapitch.Member
	Records []cicadapitch.Member
}

// Transport sends pings to other hosts.
type Transport interface {
	// Ping sends p to the host at address, which is ip:port, and returns its
	// answer. Group.Handle is the other end.
	Ping(ctx context.Context, address string, p Ping) (Ack, error)
}
