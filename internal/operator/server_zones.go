package operator

import (
	"context"

	"google.golang.org/grpc"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
)

// CreateZone adds an availability zone to the configuration.
func (s *Server) CreateZone(ctx context.Context, request *operatorv1.CreateZoneRequest) (*operatorv1.ChangeResponse, error) {
	response, err := s.createZone(ctx, request)
	s.logChange(ctx, "create zone", request.GetRequestId(), request.GetZone().GetName(), err)
	return response, s.callError("CreateZone", err, changeCall)
}

func (s *Server) createZone(ctx context.Context, request *operatorv1.CreateZoneRequest) (*operatorv1.ChangeResponse, error) {
	err := firstError(validateRequestID(request.GetRequestId()), validateZone(request.GetZone()))
	if err != nil {
		return nil, err
	}
	return s.commitChange(ctx, configurationChange{
		requestID: request.GetRequestId(),
		summary:   "create zone " + request.GetZone().GetName(),
		mutation:  s.config.Mutations.CreateZone(zoneFromMessage(request.GetZone())),
	})
}

// SetZoneService takes an availability zone out of service or puts it back into service.
func (s *Server) SetZoneService(ctx context.Context, request *operatorv1.SetZoneServiceRequest) (*operatorv1.ChangeResponse, error) {
	response, err := s.setZoneService(ctx, request)
	s.logChange(ctx, zoneAction(request), request.GetRequestId(), request.GetName(), err)
	return response, s.callError("SetZoneService", err, changeCall)
}

func zoneAction(request *operatorv1.SetZoneServiceRequest) string {
	if request.GetOutOfService() {
		return "take zone out of service"
	}
	return "bring zone back into service"
}

func (s *Server) setZoneService(ctx context.Context, request *operatorv1.SetZoneServiceRequest) (*operatorv1.ChangeResponse, error) {
	err := firstError(
		validateRequestID(request.GetRequestId()),
		validateName("name", request.GetName()),
		validateText("reason", request.GetReason()),
	)
	if err != nil {
		return nil, err
	}
	return s.commitChange(ctx, configurationChange{
		requestID: request.GetRequestId(),
		summary:   zoneAction(request) + ": " + request.GetName(),
		mutation: s.config.Mutations.SetZoneService(
			request.GetName(), request.GetOutOfService(), request.GetReason()),
	})
}

// DeleteZone removes an availability zone that is out of service and has no workers.
func (s *Server) DeleteZone(ctx context.Context, request *operatorv1.DeleteZoneRequest) (*operatorv1.ChangeResponse, error) {
	response, err := s.deleteZone(ctx, request)
	s.logChange(ctx, "delete zone", request.GetRequestId(), request.GetName(), err)
	return response, s.callError("DeleteZone", err, changeCall)
}

func (s *Server) deleteZone(ctx context.Context, request *operatorv1.DeleteZoneRequest) (*operatorv1.ChangeResponse, error) {
	err := firstError(validateRequestID(request.GetRequestId()), validateName("name", request.GetName()))
	if err != nil {
		return nil, err
	}
	zone := configuration.Zone{Name: request.GetName()}
	if workers := zoneStatus(zone, s.config.Fleet.Views()).GetWorkers(); workers > 0 {
		return nil, Errorf(CodeZoneInUse, "zone %q has %d workers", zone.Name, workers)
	}
	return s.commitChange(ctx, configurationChange{
		requestID: request.GetRequestId(),
		summary:   "delete zone " + zone.Name,
		mutation:  s.config.Mutations.DeleteZone(zone.Name),
	})
}

// GetZone returns a zone with the number of its workers and running tasks.
func (s *Server) GetZone(_ context.Context, request *operatorv1.GetZoneRequest) (*operatorv1.ZoneStatus, error) {
	response, err := s.getZone(request.GetName())
	return response, s.callError("GetZone", err, readCall)
}

func (s *Server) getZone(name string) (*operatorv1.ZoneStatus, error) {
	document, err := s.document()
	if err != nil {
		return nil, err
	}
	zone, ok := document.Zone(name)
	if !ok {
		return nil, Errorf(CodeZoneNotFound, "zone %q does not exist", name)
	}
	return zoneStatus(zone, s.config.Fleet.Views()), nil
}

// WatchZone sends the status of the zone, and again after each change of the zone or of the number of
// its workers or running tasks. Changes within watchInterval may be combined.
func (s *Server) WatchZone(request *operatorv1.GetZoneRequest, stream grpc.ServerStreamingServer[operatorv1.ZoneStatus]) error {
	err := watchChanges(s, stream, func() (*operatorv1.ZoneStatus, error) { return s.getZone(request.GetName()) })
	return s.callError("WatchZone", err, readCall)
}

// ListZones returns one page of the zones, ordered by name, each with the number of its workers and
// running tasks.
func (s *Server) ListZones(_ context.Context, request *operatorv1.ListZonesRequest) (*operatorv1.ListZonesResponse, error) {
	response, err := s.listZones(request)
	return response, s.callError("ListZones", err, readCall)
}

func (s *Server) listZones(request *operatorv1.ListZonesRequest) (*operatorv1.ListZonesResponse, error) {
	zones, next, err := documentPage(s, request.GetPageSize(), request.GetPageToken(), "zones",
		func(document *configuration.Document) []configuration.Zone { return document.Zones },
		func(zone configuration.Zone) string { return zone.Name })
	if err != nil {
		return nil, err
	}
	views := s.config.Fleet.Views()
	response := &operatorv1.ListZonesResponse{NextPageToken: next}
	for _, zone := range zones {
		response.Zones = append(response.Zones, zoneStatus(zone, views))
	}
	return response, nil
}

// zoneStatus counts the workers and running tasks of a zone. Lost workers are excluded, because their
// tasks ended when the lease expired.
func zoneStatus(zone configuration.Zone, views []WorkerView) *operatorv1.ZoneStatus {
	status := &operatorv1.ZoneStatus{Zone: zoneToMessage(zone)}
	for _, view := range views {
		if view.Zone != zone.Name || view.Lost {
			continue
		}
		status.Workers++
		for _, running := range view.Tasks {
			if running.Running {
				status.RunningTasks++
			}
		}
	}
	return status
}
