package operator

import (
	"context"
	"slices"
	"strings"

	operatorv1 "clementineflow/api/operator/v1"
)

// ListWorkers returns one page of the workers, ordered by name.
func (s *Server) ListWorkers(_ context.Context, request *operatorv1.ListWorkersRequest) (*operatorv1.ListWorkersResponse, error) {
	response, err := s.listWorkers(request)
	return response, s.callError("ListWorkers", err, readCall)
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
	views, next := cutPage(page, itemsAfter(page, views, name), name)
	response := &operatorv1.ListWorkersResponse{NextPageToken: next}
	for _, view := range views {
		response.Workers = append(response.Workers, workerToMessage(view))
	}
	return response, nil
}

// ListEntries returns every entry that is configured, registered or connected.
func (s *Server) ListEntries(context.Context, *operatorv1.ListEntriesRequest) (*operatorv1.ListEntriesResponse, error) {
	snapshot := s.snapshotRevisions()
	addresses := make(map[string]string, len(snapshot.registered))
	for _, entry := range snapshot.registered {
		addresses[entry.Name] = entry.OperatorAddress
	}
	response := &operatorv1.ListEntriesResponse{}
	for _, name := range snapshot.entryNames() {
		address, registered := addresses[name]
		response.Entries = append(response.Entries, &operatorv1.Entry{
			Name: name, OperatorAddress: address, Registered: registered,
			Shards: s.config.Entries.Shards(name), Revision: snapshot.entryRevision(name),
		})
	}
	return response, nil
}
