package store

// Service is the whole of the platform's key-value service.
type Service interface {
	Store
	Transactor
	Feed
}
