package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
)

// ApplyConfiguration replaces the whole configuration. It fails with CodeConflict unless the request is
// based on the current revision.
func (s *Server) ApplyConfiguration(ctx context.Context, request *operatorv1.ApplyConfigurationRequest) (*operatorv1.ChangeResponse, error) {
	response, err := s.applyConfiguration(ctx, request)
	s.logChange(ctx, "apply configuration", request.GetRequestId(), request.GetConfiguration().GetRegion(), err)
	return response, s.callError("ApplyConfiguration", err, changeCall)
}

func (s *Server) applyConfiguration(ctx context.Context, request *operatorv1.ApplyConfigurationRequest) (*operatorv1.ChangeResponse, error) {
	err := firstError(
		validateRequestID(request.GetRequestId()),
		validateText("author", request.GetAuthor()),
		validateConfiguration(request.GetConfiguration(), s.config.Region),
	)
	if err != nil {
		return nil, err
	}
	return s.commitChange(ctx, configurationChange{
		requestID: request.GetRequestId(),
		author:    request.GetAuthor(),
		summary:   fmt.Sprintf("apply configuration based on revision %d", request.GetConfiguration().GetRevision()),
		mutation:  s.config.Mutations.Replace(documentFromMessage(request.GetConfiguration())),
	})
}

// GetConfiguration returns the configuration with the highest revision that this entry has received.
func (s *Server) GetConfiguration(context.Context, *operatorv1.GetConfigurationRequest) (*operatorv1.Configuration, error) {
	document, err := s.document()
	if err != nil {
		return nil, s.callError("GetConfiguration", err, readCall)
	}
	return DocumentToMessage(document), nil
}

// ListRevisions returns one page of the latest accepted changes, newest first.
func (s *Server) ListRevisions(_ context.Context, request *operatorv1.ListRevisionsRequest) (*operatorv1.ListRevisionsResponse, error) {
	response, err := s.listRevisions(request)
	return response, s.callError("ListRevisions", err, readCall)
}

func (s *Server) listRevisions(request *operatorv1.ListRevisionsRequest) (*operatorv1.ListRevisionsResponse, error) {
	page, err := newPage(request.GetPageSize(), request.GetPageToken(), "revisions", "")
	if err != nil {
		return nil, err
	}
	document, err := s.document()
	if err != nil {
		return nil, err
	}
	accepted := slices.Clone(document.Changes)
	slices.Reverse(accepted)
	if page.after != "" {
		accepted, err = changesBefore(accepted, page.after)
	}
	if err != nil {
		return nil, err
	}
	accepted, next := cutPage(page, accepted, func(c configuration.Change) string {
		return strconv.FormatUint(c.Revision, 10)
	})
	response := &operatorv1.ListRevisionsResponse{NextPageToken: next}
	for _, change := range accepted {
		response.Revisions = append(response.Revisions, &operatorv1.RevisionSummary{
			Revision: change.Revision, At: timeToMessage(change.At), Author: change.Author, Summary: change.Summary,
		})
	}
	return response, nil
}

func changesBefore(accepted []configuration.Change, after string) ([]configuration.Change, error) {
	last, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return nil, Errorf(CodeInvalidPageToken, "page_token is not one of this call")
	}
	return slices.DeleteFunc(accepted, func(c configuration.Change) bool { return c.Revision >= last }), nil
}

// GetPropagation reports the entries and workers that have not confirmed a revision. Revision 0 means
// the current one.
func (s *Server) GetPropagation(_ context.Context, request *operatorv1.GetPropagationRequest) (*operatorv1.Propagation, error) {
	document, err := s.document()
	if err != nil {
		return nil, s.callError("GetPropagation", err, readCall)
	}
	revision := request.GetRevision()
	if revision == 0 {
		revision = document.Revision
	}
	return s.snapshotRevisions().propagation(revision), nil
}
