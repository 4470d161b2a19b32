package replica

// Request is an instance's: it is alive, and holds these roles under these tokens.
type Request struct {
	Instance string `json:"instance"` // an incarnation: a restart under the same name is another
	// SentAt is by the instance's own clock, and comes back with the response: its leases count
	// from there.
	SentAt        float64           `json:"at"`
	HeldTokens    map[string]uint64 `json:"holds,omitempty"` // by role
	EligibleRoles []string          `json:"can,omitempty"`   // nil: all
	WatchedRoles  []string          `json:"reads,omitempty"` // whose progress it wants to know
}

// Grant is one role in a response: the instance holds it.
type Grant struct {
	Role             string `json:"duty"`
	Token            uint64 `json:"token"`
	ReleaseRequested bool   `json:"let_go,omitempty"`
	Progress         []byte `json:"data,omitempty"`
}

// ProgressReport is a role's progress by its holder's own account, which is as old as AgeMs says.
type ProgressReport struct {
	Role     string  `json:"duty"`
	Token    uint64  `json:"token"` // under which the progress was written
	Progress []byte  `json:"data,omitempty"`
	AgeMs    float64 `json:"age"`
}

// Response answers a Request.
type Response struct {
	OK              bool              `json:"ok"`
	SentAt          float64           `json:"at"`               // the request's
	LeaderID        uint64            `json:"leader,omitempty"` // whom to ask where not OK; 0: not known
	Grants          []Grant           `json:"grants,omitempty"`
	LostRoles       map[string]uint64 `json:"lost,omitempty"` // held by nobody or another, with the latest token
	ProgressReports []ProgressReport  `json:"said,omitempty"`
}

// Bounds on a request.
const (
	maxInstanceNameBytes = 256
	maxRolesPerRequest   = 1000
)

// valid tells whether a request names its instance and keeps the bounds.
func (r *Request) valid() bool {
	return r.Instance != "" && len(r.Instance) <= maxInstanceNameBytes &&
		len(r.HeldTokens) <= maxRolesPerRequest &&
		len(r.EligibleRoles) <= maxRolesPerRequest &&
		len(r.WatchedRoles) <= maxRolesPerRequest
}
