package sidecar

import (
	"context"
	"maps"
	"time"

	"github.com/samber/do/v2"

	"pistachioroad.dev/pistachioroad/internal/claims"
	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
	"pistachioroad.dev/pistachioroad/internal/member"
	"pistachioroad.dev/pistachioroad/internal/settings"
	"pistachioroad.dev/pistachioroad/internal/wire"
)

// fleetTick is how often the configuration is evaluated without a change, because
// its exceptions expire.
const fleetTick = time.Second

// fleetDuty passes changes of the fleet's configuration and plan on to the duties
// that apply them.
type fleetDuty struct {
	settings  settings.Settings
	member    *member.Member
	admission *admissionDuty
	claims    *claims.Duty
	control   *controlDuty
	orders    *ordersDuty
	// Values last passed on, used by Serve only.
	lastDrain     drainStatus
	lastRetention time.Duration
	lastVersions  map[string]uint64
}

func newFleet(i do.Injector) (*fleetDuty, error) {
	s := do.MustInvoke[settings.Settings](i)
	d := &fleetDuty{
		settings:  s,
		member:    do.MustInvoke[*member.Member](i),
		admission: do.MustInvoke[*admissionDuty](i),
		claims:    do.MustInvoke[*claims.Duty](i),
		control:   do.MustInvoke[*controlDuty](i),
	}
	if isEngine(s) {
		d.orders = do.MustInvoke[*ordersDuty](i)
	}
	return d, nil
}

// String names the duty.
func (d *fleetDuty) String() string { return "fleet" }

// Serve passes changes on until ctx is done.
func (d *fleetDuty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(fleetTick)
	defer ticker.Stop()
	for {
		changed := d.member.Changed()
		snapshot := d.member.Snapshot()
		d.applyPlan(ctx, snapshot)
		d.applyConfig(ctx, snapshot)
		d.announceVersions(snapshot)
		select {
		case <-changed:
		case <-d.claims.OwnershipChanged():
			d.control.announce(d.slotsFrame())
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// announceVersions announces the versions of a snapshot after it was applied.
// Announced earlier, operators would see a change as active before it is;
// announced with the previous snapshot, they would see it seconds late.
func (d *fleetDuty) announceVersions(s *member.Snapshot) {
	versions := s.Versions().GetVersions()
	if maps.Equal(versions, d.lastVersions) {
		return
	}
	d.lastVersions = versions
	d.control.announce(versionsFrame(s))
}

func (d *fleetDuty) applyPlan(ctx context.Context, s *member.Snapshot) {
	if s.PlanVersion == 0 {
		return
	}
	if slots, ok := s.Plan.Slots[d.service()]; ok {
		d.claims.SetPlan(s.PlanVersion, slots.Owners)
	}
	if row, ok := s.Plan.Engines[d.settings.Process.Name]; ok && d.orders != nil {
		d.orders.setRow(ctx, row)
	}
}

// applyConfig passes on the settings that operators made for this backend server.
func (d *fleetDuty) applyConfig(ctx context.Context, s *member.Snapshot) {
	row := s.Plan.Engines[d.settings.Process.Name]
	values := s.Config.EffectiveValues(fleetconfig.Scope{
		Service:       d.service(),
		Model:         row.Model,
		DataCentre:    d.settings.Process.DataCentre,
		BackendServer: d.settings.Process.Name,
	}, time.Now())
	drained := drainStatus{
		drained: *values.Drained,
		timeout: time.Duration(*values.DrainTimeout),
	}
	if drained != d.lastDrain {
		d.lastDrain = drained
		d.admission.post(ctx, drained)
		d.setDrainTimeout(ctx, drained.timeout)
	}
	if retention := time.Duration(*values.ClaimRetention); retention != d.lastRetention {
		d.lastRetention = retention
		d.claims.SetRetention(retention)
	}
}

func (d *fleetDuty) setDrainTimeout(ctx context.Context, timeout time.Duration) {
	if d.orders != nil {
		d.orders.setDrainTimeout(ctx, timeout)
	}
}

func (d *fleetDuty) service() string { return d.settings.Sidecar.BackendServer.Service }

func (d *fleetDuty) slotsFrame() *wire.Frame {
	slots := &wire.Slots{Service: d.service(), Slots: d.claims.Owned()}
	return &wire.Frame{Body: &wire.Frame_Slots{Slots: slots}}
}

func versionsFrame(s *member.Snapshot) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: s.Versions()}}
}
