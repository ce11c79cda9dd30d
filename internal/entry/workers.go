package entry

import (
	"clementineflow/internal/controller"
	"clementineflow/internal/fleet"
	"clementineflow/internal/operator"
	"clementineflow/internal/wire"
)

// controllerFleet implements controller.Fleet over the hub.
type controllerFleet struct {
	hub *fleet.Hub
}

// Views implements controller.Fleet.
func (w controllerFleet) Views() []controller.View {
	views := w.hub.Views()
	adapted := make([]controller.View, 0, len(views))
	for _, view := range views {
		adapted = append(adapted, controller.View(view))
	}
	return adapted
}

// View implements controller.Fleet.
func (w controllerFleet) View(name string) (controller.View, bool) {
	view, ok := w.hub.View(name)
	return controller.View(view), ok
}

// Send implements controller.Fleet.
func (w controllerFleet) Send(worker string, message wire.Message) error {
	return w.hub.Send(worker, message)
}

// IsLost implements controller.Fleet.
func (w controllerFleet) IsLost(worker, bootID string) bool { return w.hub.IsLost(worker, bootID) }

// controllerHandler implements fleet.Handler by forwarding the messages about tasks to the controller.
type controllerHandler struct {
	*controller.Controller
}

// WorkerConnected implements fleet.Handler.
func (h controllerHandler) WorkerConnected(view fleet.View) {
	h.Controller.WorkerConnected(controller.View(view))
}

// RequestReply implements fleet.Handler. It does nothing, since request replies are not about tasks.
func (controllerHandler) RequestReply(string, *wire.RequestReply) {}

// QueryReply implements fleet.Handler. It does nothing, since query replies are not about tasks.
func (controllerHandler) QueryReply(string, *wire.QueryReply) {}

// operatorFleet implements operator.Fleet over the hub.
type operatorFleet struct {
	hub *fleet.Hub
}

// Views implements operator.Fleet.
func (f operatorFleet) Views() []operator.WorkerView {
	views := f.hub.Views()
	adapted := make([]operator.WorkerView, 0, len(views))
	for _, view := range views {
		adapted = append(adapted, operator.WorkerView{
			Name: view.Name, Zone: view.Zone, Rack: view.Rack,
			Capacity: view.Capacity, Free: view.Free, Revision: view.Revision,
			Connected: view.Connected, Leaving: view.Leaving,
			Lost:    !view.Connected && f.hub.IsLost(view.Name, view.Session.BootID),
			Targets: view.Targets, Tasks: view.Tasks,
		})
	}
	return adapted
}

// PeerRevisions implements operator.Fleet.
func (f operatorFleet) PeerRevisions() map[string]uint64 { return f.hub.PeerRevisions() }
