package operator

import (
	"context"

	"google.golang.org/grpc"

	operatorv1 "clementineflow/api/operator/v1"
	"clementineflow/internal/configuration"
)

// CreateService adds a service to the configuration.
func (s *Server) CreateService(ctx context.Context, request *operatorv1.CreateServiceRequest) (*operatorv1.ChangeResponse, error) {
	response, err := s.createService(ctx, request)
	s.logChange(ctx, "create service", request.GetRequestId(), request.GetService().GetName(), err)
	return response, s.callError("CreateService", err, changeCall)
}

func (s *Server) createService(ctx context.Context, request *operatorv1.CreateServiceRequest) (*operatorv1.ChangeResponse, error) {
	err := firstError(validateRequestID(request.GetRequestId()), validateService(request.GetService()))
	if err != nil {
		return nil, err
	}
	return s.commitChange(ctx, configurationChange{
		requestID: request.GetRequestId(),
		summary:   "create service " + request.GetService().GetName(),
		mutation:  s.config.Mutations.CreateService(serviceFromMessage(request.GetService())),
	})
}

// DeleteService removes a service from the configuration.
func (s *Server) DeleteService(ctx context.Context, request *operatorv1.DeleteServiceRequest) (*operatorv1.ChangeResponse, error) {
	response, err := s.deleteService(ctx, request)
	s.logChange(ctx, "delete service", request.GetRequestId(), request.GetName(), err)
	return response, s.callError("DeleteService", err, changeCall)
}

func (s *Server) deleteService(ctx context.Context, request *operatorv1.DeleteServiceRequest) (*operatorv1.ChangeResponse, error) {
	err := firstError(validateRequestID(request.GetRequestId()), validateName("name", request.GetName()))
	if err != nil {
		return nil, err
	}
	return s.commitChange(ctx, configurationChange{
		requestID: request.GetRequestId(),
		summary:   "delete service " + request.GetName(),
		mutation:  s.config.Mutations.DeleteService(request.GetName()),
	})
}

// GetService returns a service, or CodeServiceNotFound.
func (s *Server) GetService(_ context.Context, request *operatorv1.GetServiceRequest) (*operatorv1.Service, error) {
	response, err := s.getService(request.GetName())
	return response, s.callError("GetService", err, readCall)
}

func (s *Server) getService(name string) (*operatorv1.Service, error) {
	document, err := s.document()
	if err != nil {
		return nil, err
	}
	service, ok := document.Service(name)
	if !ok {
		return nil, Errorf(CodeServiceNotFound, "service %q does not exist", name)
	}
	return ServiceToMessage(service), nil
}

// WatchService sends the service and then its new state after each change. Changes within
// watchInterval may be combined.
func (s *Server) WatchService(request *operatorv1.GetServiceRequest, stream grpc.ServerStreamingServer[operatorv1.Service]) error {
	err := watchChanges(s, stream, func() (*operatorv1.Service, error) { return s.getService(request.GetName()) })
	return s.callError("WatchService", err, readCall)
}

// ListServices returns one page of the services, ordered by name.
func (s *Server) ListServices(_ context.Context, request *operatorv1.ListServicesRequest) (*operatorv1.ListServicesResponse, error) {
	response, err := s.listServices(request)
	return response, s.callError("ListServices", err, readCall)
}

func (s *Server) listServices(request *operatorv1.ListServicesRequest) (*operatorv1.ListServicesResponse, error) {
	services, next, err := documentPage(s, request.GetPageSize(), request.GetPageToken(), "services",
		func(document *configuration.Document) []configuration.Service { return document.Services },
		func(service configuration.Service) string { return service.Name })
	if err != nil {
		return nil, err
	}
	response := &operatorv1.ListServicesResponse{NextPageToken: next}
	for _, service := range services {
		response.Services = append(response.Services, ServiceToMessage(service))
	}
	return response, nil
}
