package placement

const (
	// idleShare is the share of the connections that an endpoint accepts that hosts keep idle. Hosts that
	// lose power leave theirs open at the endpoint until its idle timeout, so that those of the hosts that come
	// back have to fit beside them. The rest is for calls that find none.
	idleShare = 0.45
	// maxIdle bounds the idle connections of one host to one endpoint.
	maxIdle = 12
)

// IdleConnections returns how many idle connections a host keeps to an endpoint that accepts the given
// number from all hosts together, or any number if that is 0. rank returns the position of the host in the
// rendezvous order for the endpoint, or -1. It is only called where not every host can keep one.
func IdleConnections(accepted, hosts int, rank func() int) int {
	if accepted <= 0 {
		return maxIdle
	}
	idle := int(idleShare * float64(accepted))
	if each := idle / max(hosts, 1); each > 0 {
		return min(each, maxIdle)
	}
	if r := rank(); r >= 0 && r < idle {
		return 1
	}
	return 0
}
