package process

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	operatorv1 "clementineflow/api/operator/v1"
)

// TestOperatorsRace guards against a change that is accepted and overwritten by another operator who
// read the configuration before, and against a revision that reverts.
func TestOperatorsRace(t *testing.T) {
	c := startCluster(t)
	const rounds = 8
	highest := watchRevisions(c)
	for round := range rounds {
		base := c.latest()
		var group sync.WaitGroup
		errs := make([]error, 2)
		for operator := range errs {
			group.Go(func() {
				changed := proto.Clone(base).(*operatorv1.Configuration)
				changed.Teams = append(changed.Teams, &operatorv1.Team{Name: fmt.Sprintf("team-%d-%d", round, operator), Weight: 1})
				errs[operator] = c.apply(c.entries[operator], changed)
			})
		}
		group.Wait()
		c.checkRace(round, base, errs)
	}
	highest()
	c.waitRevision(c.latest().GetRevision())
	if teams := len(c.latest().GetTeams()); teams != 1+rounds {
		t.Errorf("%d teams after %d accepted changes", teams, rounds)
	}
}

// checkRace fails unless one operator was accepted and the other told about the conflict.
func (c *cluster) checkRace(round int, base *operatorv1.Configuration, errs []error) {
	c.t.Helper()
	accepted := 0
	for _, err := range errs {
		switch {
		case err == nil:
			accepted++
		case !isCode(err, codes.Aborted):
			c.t.Errorf("round %d: the losing operator got %v", round, err)
		}
	}
	if accepted != 1 {
		c.t.Errorf("round %d from revision %d: %d of two changes were accepted", round, base.GetRevision(), accepted)
	}
}

// apply applies a configuration and repeats the call with the same id while its outcome is open or the
// store did not answer in time, which happens on a busy machine.
func (c *cluster) apply(e *entryNode, document *operatorv1.Configuration) error {
	request := &operatorv1.ApplyConfigurationRequest{RequestId: uuid.NewString(), Configuration: document, Author: "test"}
	for deadline := time.Now().Add(settleLimit); ; time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := e.client.ApplyConfiguration(ctx, request)
		cancel()
		open := isCode(err, codes.Unavailable) || isCode(err, codes.DeadlineExceeded)
		if !open || time.Now().After(deadline) {
			return err
		}
	}
}

// latest returns the configuration of the highest revision that an entry has.
func (c *cluster) latest() *operatorv1.Configuration {
	c.t.Helper()
	var latest *operatorv1.Configuration
	for _, e := range c.entries {
		if read := c.configuration(e); read.GetRevision() > latest.GetRevision() {
			latest = read
		}
	}
	return latest
}

// watchRevisions reads the revision of each entry until the returned function is called, and fails if
// it goes down.
func watchRevisions(c *cluster) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, e := range c.entries {
		group.Go(func() {
			for highest := uint64(0); ; {
				select {
				case <-done:
					return
				default:
				}
				revision := c.configuration(e).GetRevision()
				if revision < highest {
					c.t.Errorf("%s went from revision %d back to %d", e.name, highest, revision)
				}
				highest = revision
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		close(done)
		group.Wait()
	}
}

func (c *cluster) listEntries(e *entryNode) []*operatorv1.Entry {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := e.client.ListEntries(ctx, &operatorv1.ListEntriesRequest{})
	if err != nil {
		return nil
	}
	return response.GetEntries()
}
