package operator

import (
	"context"
	"slices"
	"strings"

	operatorv1 "clementineflow/api/operator/v1"
)

// ListWorkers returns one page of the workers in the order of their names.
func (s *Server) ListWorkers(_ context.Context, request *operatorv1.ListWorkersRequest) (*operatorv1.ListWorkersResponse, error) {
	response, err := s.listWorkers(request)
	return response, s.result("ListWorkers", err, reads)
}

func (s *Server) listWorkers(request *operatorv1.ListWorkersRequest) (*operatorv1.ListWorkersResponse, error) {
	page, err := newPage(request.GetPageSize(), request.GetPageToken(), "workers", request.GetZone())
	if err != nil {
		return nil, err
	}
	name := func(view WorkerView) string { return view.Name }
	views := slices.Clone(s.config.Fleet.Views())
	if zone := request.GetZone(); zone != "" {
		views = slices.DeleteFunc(views, func(view WorkerView) bool { return view.Zone != zone })
	}
	slices.SortFunc(views, func(a, b WorkerView) int { return strings.Compare(a.Name, b.Name) })
	views, next := cut(page, from(page, views, name), name)
	response := &operatorv1.ListWorkersResponse{NextPageToken: next}
	for _, view := range views {
		response.Workers = append(response.Workers, workerToMessage(view))
	}
	return response, nil
}

// ListEntries returns every entry that is configured, registered or connected.
func (s *Server) ListEntries(context.Context, *operatorv1.ListEntriesRequest) (*operatorv1.ListEntriesResponse, error) {
	known := s.revisions()
	addresses := make(map[string]string, len(known.registered))
	for _, entry := range known.registered {
		addresses[entry.Name] = entry.OperatorAddress
	}
	response := &operatorv1.ListEntriesResponse{}
	for _, name := range known.entries() {
		address, registered := addresses[name]
		response.Entries = append(response.Entries, &operatorv1.Entry{
			Name: name, OperatorAddress: address, Registered: registered,
			Shards: s.config.Entries.Shards(name), Revision: known.entryRevision(name),
		})
	}
	return response, nil
}
