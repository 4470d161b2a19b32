package grpcwire

import "slices"

// Status is a gRPC status code.
type Status uint8

// The status codes of gRPC, by their numbers on the wire.
const (
	OK Status = iota
	Cancelled
	Unknown
	InvalidArgument
	DeadlineExceeded
	NotFound
	AlreadyExists
	PermissionDenied
	ResourceExhausted
	FailedPrecondition
	Aborted
	OutOfRange
	Unimplemented
	Internal
	Unavailable
	DataLoss
	Unauthenticated
	StatusCount // how many there are
)

var statusNames = [StatusCount]string{
	"OK", "CANCELLED", "UNKNOWN", "INVALID_ARGUMENT", "DEADLINE_EXCEEDED", "NOT_FOUND", "ALREADY_EXISTS",
	"PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION", "ABORTED", "OUT_OF_RANGE",
	"UNIMPLEMENTED", "INTERNAL", "UNAVAILABLE", "DATA_LOSS", "UNAUTHENTICATED",
}

// String returns the status's name as gRPC spells it; UNKNOWN for a number that gRPC doesn't define.
func (s Status) String() string {
	if s < StatusCount {
		return statusNames[s]
	}
	return statusNames[Unknown]
}

// StatusByName finds a status by its name in capitals.
func StatusByName(name string) (Status, bool) {
	if i := slices.Index(statusNames[:], name); i >= 0 {
		return Status(i), true
	}
	return Unknown, false
}
