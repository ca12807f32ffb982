package membership

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/origin"
)

const (
	// eraSettleTime is how long after the beginning of an era the endpoints whose entries the store has
	// lost may take to register again, as for entries that expired in an outage, and some time to spare.
	eraSettleTime = outageWindow + 200
	// completionTime is what it takes to write a list as complete once the era has settled.
	completionTime cicadapitch.Millis = 600
	// minCompletionRetry is the least time after which callers may ask again for a list.
	minCompletionRetry cicadapitch.Millis = 300
)

// settledEra returns the store's era if this host has known it for eraSettleTime, with knowledge of the
// endpoints that is no older than age, and 0 otherwise. Then the versions that this host knows are all at which
// streams can have begun and endpoints are left.
func (m *Membership) settledEra(now cicadapitch.Instant, age cicadapitch.Millis) cicadapitch.StoreEra {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era.since == 0 || now.Sub(m.era.since)-age < eraSettleTime {
		return 0
	}
	return m.era.current
}

// completeEra returns the era in which a list of versions that is written now is known to be complete, or
// 0 if it is not known to be. It asks the store for the endpoints' changes if this host's knowledge is too old.
func (m *Membership) completeEra(ctx context.Context) cicadapitch.StoreEra {
	if m.settledEra(m.clock.Now(), 0) == 0 {
		return 0
	}
	known := func() cicadapitch.StoreEra {
		age, ok := m.KnowledgeAge()
		if !ok {
			return 0
		}
		return m.settledEra(m.clock.Now(), age)
	}
	if e := known(); e > 0 {
		return e
	}
	m.pollStore(ctx)
	return known()
}

// checkComplete returns a NotRun error unless the list of a service's versions is complete in an era.
func (m *Membership) checkComplete(s catalog.ServiceID, e cicadapitch.StoreEra) error {
	now := m.clock.Now()
	m.mu.Lock()
	complete := origin.CompleteIn(m.storedVersions[versionKeyPrefix+string(s)], e)
	wait := m.era.since.Add(eraSettleTime + completionTime).Sub(now)
	m.mu.Unlock()
	if complete {
		return nil
	}
	m.metrics.Tagged(map[string]string{"Service": string(s)}).Counter("IncompleteVersionLists").Inc(1)
	return cicadapitch.NewNotRun("the store may lack versions of service "+string(s)+", since it has come back from an older copy or has just been started", max(wait, minCompletionRetry))
}
