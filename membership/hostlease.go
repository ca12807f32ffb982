package membership

import (
	"context"
	"errors"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/platform"
)

// hostLease is the lease of this host's entry in the store.
type hostLease struct {
	// id is 0 while there is none.
	id cicadapitch.LeaseID
	// era is that of the store before the lease was granted. A store that comes back from an older copy gives
	// out ids again.
	era cicadapitch.StoreEra
}

// renew renews a lease. The error is platform.ErrNoLease also if the store has come back from a copy since the
// lease was granted.
func (m *Membership) renew(ctx context.Context, l hostLease) error {
	if l.era == m.store.Era() {
		if _, err := m.store.Renew(ctx, l.id); err != nil {
			return err
		}
	}
	if l.era != m.store.Era() {
		return platform.ErrNoLease
	}
	return nil
}

// endLease removes this host's entry from the store.
func (m *Membership) endLease(ctx context.Context, l hostLease) error {
	if l.era == m.store.Era() {
		return m.store.Revoke(ctx, l.id)
	}
	_, err := m.store.Commit(ctx, nil, []cicadapitch.Write{{Key: hostKeyPrefix + m.incarnation, Delete: true}})
	return err
}

// restoreSecret writes the deployment's secret again if the store lacks it.
func (m *Membership) restoreSecret(ctx context.Context) {
	secret := m.secret.Load()
	if secret == nil {
		return
	}
	_, err := m.store.Commit(ctx, []cicadapitch.Condition{{Key: secretStoreKey}}, []cicadapitch.Write{{Key: secretStoreKey, Value: *secret}})
	if !errors.Is(err, platform.ErrConflict) {
		m.log.Info().Err(err).Msg("the deployment's secret written again")
	}
}
