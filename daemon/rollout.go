package daemon

import (
	"github.com/samber/do/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/claim"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/driver"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/rollout"
	"cicadapitch.example/cicadapitch/settings"
)

func newRollout(i do.Injector) (*rollout.Rollout, error) {
	s := do.MustInvoke[*settings.Settings](i)
	owner := do.MustInvoke[*endpoint.Owner](i)
	return rollout.New(s.Host, do.MustInvoke[*claim.Manager](i), rollout.Dependencies{
		Configurations: do.MustInvoke[*configuration.Follower](i),
		Driver:         driver.NewEngine(driver.WithClock(clockOf(i))),
		Load:           owner.Load,
		Pauser:         owner,
		Store:          do.MustInvoke[cicadapitch.Store](i),
		Clock:          clockOf(i),
	}, rollout.WithInterval(s.LoadIntervalMillis), rollout.WithLog(logOf(i))), nil
}
