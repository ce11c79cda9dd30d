package configuration

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"clementineflow/internal/resource"
	"clementineflow/internal/standin/kvstore"
)

const testRegion = "mu-island"

func newTestFollower(faulty *kvstore.Faulty) *Follower {
	return NewFollower(Config{Region: testRegion, Store: faulty, Logger: log.New(io.Discard)})
}

func testDocument() *Document {
	return &Document{
		Region: testRegion, Entries: []string{"a"}, Zones: []Zone{{Name: "curepipe"}},
		Teams: []Team{{Name: "rail", Weight: 1}},
	}
}

// writeFirstDocument stores testDocument as the first revision.
func writeFirstDocument(t *testing.T, follower *Follower) {
	t.Helper()
	if _, err := follower.Change(t.Context(), "first", "", "", ReplaceAll(testDocument(), 0)); err != nil {
		t.Fatal(err)
	}
}

func startFollower(t *testing.T, follower *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// TestChangeResolvesLostAnswers guards against a change that is reported as failed although it was
// applied, that is applied twice, or that is applied late after it was reported as failed. The store
// loses or delays its answers, or applies writes late.
func TestChangeResolvesLostAnswers(t *testing.T) {
	faults := map[string]kvstore.Faults{
		"lost":       {LoseAnswers: 1},
		"lost twice": {LoseAnswers: 2},
		"late":       {LateWrites: 1, LateWriteMillis: 300},
		"very late":  {LateWrites: 3, LateWriteMillis: 5000},
		"slow":       {DelayMillis: 450},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				faulty := kvstore.NewFaulty(kvstore.NewMemory(), 1)
				follower := newTestFollower(faulty)
				writeFirstDocument(t, follower)
				faulty.SetFaults(fault)
				revision, err := follower.Change(t.Context(), "r1", "op", "", SetZoneService("curepipe", true, ""))
				is.NoErr(err)
				is.Equal(revision, uint64(2))
				time.Sleep(10 * time.Second)
				faulty.SetFaults(kvstore.Faults{})
				repeated, err := follower.Change(t.Context(), "r1", "op", "", SetZoneService("curepipe", false, ""))
				is.NoErr(err)
				is.Equal(repeated, revision) // the same request id is applied only once
				document, _, err := follower.readDocument(t.Context())
				is.NoErr(err)
				is.Equal(document.Revision, uint64(2))
				is.True(!document.ZoneInService("curepipe"))
			})
		})
	}
}

// TestChangeErrors guards against a wrong error for a conflict, an unavailable store or an unknown
// outcome, and against a failed mutation that modifies the shared document.
func TestChangeErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		faulty := kvstore.NewFaulty(memory, 1)
		follower, other := newTestFollower(faulty), newTestFollower(kvstore.NewFaulty(memory, 2))
		writeFirstDocument(t, follower)
		before := follower.Document()

		_, err := follower.Change(t.Context(), "race", "", "", func(document *Document) error {
			_, err := other.Change(t.Context(), "rival", "", "", CreateZone(Zone{Name: "port-louis"}))
			is.NoErr(err)
			return CreateZone(Zone{Name: "grand-baie"})(document)
		})
		var conflict *ConflictError
		is.True(errors.Is(err, ErrConflict) && errors.As(err, &conflict))
		is.Equal(conflict.Current, uint64(2))
		is.Equal(len(before.Zones), 1)
		errRejected := errors.New("refused")
		fresh := newTestFollower(kvstore.NewFaulty(memory, 3)) // its first read adopts the document that the mutation is based on
		_, err = fresh.Change(t.Context(), "spoil", "", "", func(document *Document) error {
			document.Zones[0].OutOfService = true
			return errRejected
		})
		is.Equal(err, errRejected)
		is.True(!fresh.Document().Zones[0].OutOfService) // the shared document is unchanged

		faulty.SetFaults(kvstore.Faults{Down: true})
		_, err = follower.Change(t.Context(), "down", "", "", DeleteService("x"))
		is.True(errors.Is(err, ErrUnavailable))

		faulty.SetFaults(kvstore.Faults{LateWrites: 1 << 20, LateWriteMillis: 60000})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err = follower.Change(ctx, "lost", "", "", CreateZone(Zone{Name: "grand-baie"}))
		is.True(errors.Is(err, ErrOutcomeUnknown))
		_, err = follower.Change(t.Context(), "", "", "", CreateZone(Zone{Name: "z"}))
		is.True(errors.Is(err, ErrMissingRequestID))
	})
}

// TestChangesAreBounded guards against a list of changes that grows without limit.
func TestChangesAreBounded(t *testing.T) {
	is := is.New(t)
	follower := newTestFollower(kvstore.NewFaulty(kvstore.NewMemory(), 1))
	writeFirstDocument(t, follower)
	for i := range MaxChanges + 5 {
		_, err := follower.Change(t.Context(), fmt.Sprint(i), "", "", SetZoneService("curepipe", i%2 == 0, ""))
		is.NoErr(err)
	}
	changes := follower.Document().Changes
	is.Equal(len(changes), MaxChanges)
	is.Equal(changes[MaxChanges-1].Revision, follower.Document().Revision)
}

// TestFollow guards against a follower that relies only on the watch, that returns to a lower
// revision, or that measures the confirmation age from the end of the read.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		writer := newTestFollower(kvstore.NewFaulty(memory, 1))
		writeFirstDocument(t, writer)
		oldDocument := writer.Document()
		faulty := kvstore.NewFaulty(memory, 2)
		faulty.SetFaults(kvstore.Faults{MissEventPercent: 100, DelayMillis: 400})
		follower := newTestFollower(faulty)
		startFollower(t, follower)
		time.Sleep(500 * time.Millisecond)
		age, ok := follower.ConfirmationAge()
		is.True(ok)
		is.Equal(age, 500*time.Millisecond) // since the start of the read
		_, err := writer.Change(t.Context(), "r", "", "", SetZoneService("curepipe", true, ""))
		is.NoErr(err)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(follower.Document().Revision, uint64(2)) // received by the confirming read
		follower.Observe(oldDocument)
		is.Equal(follower.Document().Revision, uint64(2))

		newer := follower.Document().Clone()
		newer.Revision = 3
		follower.Observe(newer)
		time.Sleep(3 * time.Second)
		age, _ = follower.ConfirmationAge()
		is.True(age >= 3*time.Second) // reads of an older revision do not confirm the newer one

		faulty.SetFaults(kvstore.Faults{Down: true})
		time.Sleep(5 * time.Second)
		age, _ = follower.ConfirmationAge()
		is.True(age >= 5*time.Second)
	})
}

// TestWatchIsPrompt guards against changes that are received only by the next confirming read.
func TestWatchIsPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		writer := newTestFollower(kvstore.NewFaulty(memory, 1))
		writeFirstDocument(t, writer)
		follower := newTestFollower(kvstore.NewFaulty(memory, 2))
		startFollower(t, follower)
		time.Sleep(1100 * time.Millisecond)
		changes := follower.Subscribe()
		_, err := writer.Change(t.Context(), "r", "", "", SetZoneService("curepipe", true, ""))
		is.NoErr(err)
		synctest.Wait()
		is.Equal(follower.Document().Revision, uint64(2))
		<-changes
	})
}

// TestValidate guards against invalid fields of an operator's document that validation accepts.
func TestValidate(t *testing.T) {
	service := Service{Name: "fit", Team: "rail", Timeout: time.Second}
	tests := map[string]struct {
		corrupt func(*Document)
		want    error
	}{
		"no region":         {func(d *Document) { d.Region = "" }, ErrMissing},
		"no entries":        {func(d *Document) { d.Entries = nil }, ErrMissing},
		"no zones":          {func(d *Document) { d.Zones = nil }, ErrMissing},
		"unnamed zone":      {func(d *Document) { d.Zones[0].Name = "" }, ErrMissing},
		"duplicate entry":   {func(d *Document) { d.Entries = append(d.Entries, "a") }, ErrDuplicate},
		"duplicate zone":    {func(d *Document) { d.Zones = append(d.Zones, d.Zones[0]) }, ErrDuplicate},
		"duplicate team":    {func(d *Document) { d.Teams = append(d.Teams, d.Teams[0]) }, ErrDuplicate},
		"duplicate service": {func(d *Document) { d.Services = append(d.Services, d.Services[0]) }, ErrDuplicate},
		"unknown team":      {func(d *Document) { d.Services[0].Team = "x" }, ErrUnknownTeam},
		"negative quota":    {func(d *Document) { d.Teams[0].Quota.MilliCPU = -1 }, ErrTooSmall},
		"no weight":         {func(d *Document) { d.Teams[0].Weight = 0 }, ErrTooSmall},
		"negative rate":     {func(d *Document) { d.Teams[0].RequestsPerSecond = -1 }, ErrTooSmall},
		"negative size":     {func(d *Document) { d.Services[0].Size = resource.Quantity{MemoryBytes: -1} }, ErrTooSmall},
		"negative count":    {func(d *Document) { d.Services[0].Replicas = -1 }, ErrTooSmall},
		"no size":           {func(d *Document) { d.Services[0].Replicas = 1 }, ErrMissing},
		"no timeout":        {func(d *Document) { d.Services[0].Timeout = 0 }, ErrTooSmall},
		"weight":            {func(d *Document) { d.Weights.Evictions = -1 }, ErrTooSmall},
		"too large":         {func(d *Document) { d.Services[0].Payload = make([]byte, 1<<20) }, ErrTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			document := testDocument()
			document.Services = []Service{service}
			is.NoErr(Validate(document))
			test.corrupt(document)
			err := Validate(document)
			var invalid *InvalidError
			is.True(errors.As(err, &invalid) && errors.Is(err, test.want))
		})
	}
}

// TestMutations guards against mutations that accept missing or duplicate names, an outdated revision
// or another region.
func TestMutations(t *testing.T) {
	is := is.New(t)
	document := testDocument()
	is.NoErr(CreateZone(Zone{Name: "grand-baie"})(document))
	is.True(errors.Is(CreateZone(Zone{Name: "grand-baie"})(document), ErrDuplicate))
	is.True(errors.Is(SetZoneService("x", true, "")(document), ErrUnknownZone))
	is.NoErr(CreateService(Service{Name: "fit", Team: "rail"})(document))
	is.True(errors.Is(CreateService(Service{Name: "fit", Team: "rail"})(document), ErrDuplicate))
	is.True(errors.Is(CreateService(Service{Name: "y", Team: "x"})(document), ErrUnknownTeam))
	is.NoErr(DeleteService("fit")(document))
	is.True(errors.Is(DeleteService("fit")(document), ErrUnknownService))
	document.Revision = 4
	is.True(errors.Is(ReplaceAll(testDocument(), 3)(document), ErrConflict))
	is.True(errors.Is(ReplaceAll(&Document{Region: "x"}, 4)(document), ErrRegionMismatch))
	is.NoErr(ReplaceAll(testDocument(), 4)(document))
}
