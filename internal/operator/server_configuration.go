package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
)

// ApplyConfiguration replaces the whole configuration.
func (s *Server) ApplyConfiguration(ctx context.Context, request *operatorv1.ApplyConfigurationRequest) (*operatorv1.ChangeResponse, error) {
	response, err := s.applyConfiguration(ctx, request)
	s.logChange(ctx, "apply configuration", request.GetRequestId(), request.GetConfiguration().GetRegion(), err)
	return response, s.result("ApplyConfiguration", err, changes)
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
	return s.apply(ctx, change{
		requestID: request.GetRequestId(),
		author:    request.GetAuthor(),
		summary:   fmt.Sprintf("apply configuration based on revision %d", request.GetConfiguration().GetRevision()),
		mutation:  s.config.Mutations.Replace(documentFromMessage(request.GetConfiguration())),
	})
}

// GetConfiguration returns the highest configuration that this entry knows.
func (s *Server) GetConfiguration(context.Context, *operatorv1.GetConfigurationRequest) (*operatorv1.Configuration, error) {
	document, err := s.document()
	if err != nil {
		return nil, s.result("GetConfiguration", err, reads)
	}
	return DocumentToMessage(document), nil
}

// ListRevisions returns one page of the latest accepted changes, newest first.
func (s *Server) ListRevisions(_ context.Context, request *operatorv1.ListRevisionsRequest) (*operatorv1.ListRevisionsResponse, error) {
	response, err := s.listRevisions(request)
	return response, s.result("ListRevisions", err, reads)
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
		accepted, err = changesBelow(accepted, page.after)
	}
	if err != nil {
		return nil, err
	}
	accepted, next := cut(page, accepted, func(c configuration.Change) string {
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

func changesBelow(accepted []configuration.Change, after string) ([]configuration.Change, error) {
	last, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return nil, Errorf(CodeInvalidPageToken, "page_token is not one of this call")
	}
	return slices.DeleteFunc(accepted, func(c configuration.Change) bool { return c.Revision >= last }), nil
}

// GetPropagation says where a revision is not yet in force; revision 0 stands for the current one.
func (s *Server) GetPropagation(_ context.Context, request *operatorv1.GetPropagationRequest) (*operatorv1.Propagation, error) {
	document, err := s.document()
	if err != nil {
		return nil, s.result("GetPropagation", err, reads)
	}
	revision := request.GetRevision()
	if revision == 0 {
		revision = document.Revision
	}
	return s.revisions().propagation(revision), nil
}
