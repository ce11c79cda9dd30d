package main

import (
	"context"
	"time"

	"github.com/google/uuid"

	operatorv1 "clementineflow/api/operator/v1"
)

// changeFlags are the flags of every command that changes something.
type changeFlags struct {
	RequestID string `placeholder:"ID" help:"Id of the change; a repeated id has one effect. Default: random, printed on failure."`
}

// id returns the request id, drawn once.
func (f *changeFlags) id() string {
	if f.RequestID == "" {
		f.RequestID = uuid.NewString()
	}
	return f.RequestID
}

// waitFlags are the flags of commands that can wait for the effect of a change.
type waitFlags struct {
	Wait        bool          `help:"Wait for the effect, with progress on standard error."`
	WaitTimeout time.Duration `default:"5m" help:"Longest wait; exit code 7 after it."`
}

// changeOnce makes one call that changes something. It never repeats the call.
func changeOnce[Q, R any](ctx context.Context, s *session, flags *changeFlags, method method[Q, R], request Q) (R, error) {
	response, err := call(ctx, s, method, request)
	if err != nil {
		return response, &changeError{requestID: flags.id(), cause: err}
	}
	return response, nil
}

// printChange prints an accepted change.
func (s *session) printChange(response *operatorv1.ChangeResponse) error {
	return s.print(response, func() table { return changeTable(response) })
}
