package store

// Service is the complete interface of the platform's key-value service.
type Service interface {
	Store
	Transactor
	Feed
}
