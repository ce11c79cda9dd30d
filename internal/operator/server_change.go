package operator

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// change is one change of the configuration.
type change struct {
	requestID string
	author    string
	summary   string
	mutation  Mutation
}

// apply commits the change and reports where its revision is not yet in force.
func (s *Server) apply(ctx context.Context, c change) (*operatorv1.ChangeResponse, error) {
	revision, err := s.config.Configuration.Change(ctx, c.requestID, author(ctx, c.author), c.summary, c.mutation)
	if err != nil {
		return nil, err
	}
	return &operatorv1.ChangeResponse{Revision: revision, Propagation: s.revisions().propagation(revision)}, nil
}

// logChange writes one line for each attempted change.
func (s *Server) logChange(ctx context.Context, action, requestID, subject string, err error) {
	if err != nil {
		s.config.Logger.Warn("change refused", "action", action, "subject", subject, "request_id", requestID,
			"author", author(ctx, ""), "reason", err)
		return
	}
	s.config.Logger.Info("change accepted", "action", action, "subject", subject, "request_id", requestID,
		"author", author(ctx, ""))
}

// revisions returns what this entry knows of the revisions of all places.
func (s *Server) revisions() revisions {
	known := revisions{
		self: s.config.Name, registered: s.config.Entries.Entries(),
		peers: s.config.Fleet.PeerRevisions(), workers: s.config.Fleet.Views(),
	}
	if document := s.config.Configuration.Document(); document != nil {
		known.selfRevision = document.Revision
		known.configured = document.Entries
	}
	return known
}
