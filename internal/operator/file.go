package operator

// The form of the file, once the schema has accepted it. A pointer is nil where the file leaves a setting to its default.

type file struct {
	Schema string      `json:"$schema"`
	GRPC   *grpcFile   `json:"grpc"`
	Sites  *sitesFile  `json:"sites"`
	Owner  *ownerFile  `json:"owner"`
	Order  *orderFile  `json:"order"`
	Talk   *talkFile   `json:"talk"`
	Ledger *ledgerFile `json:"ledger"`
}

type sitesFile struct {
	Borne bool `json:"borne"`
}

type ownerFile struct {
	Listen string      `json:"listen"`
	Folder string      `json:"folder"`
	Voters []voterFile `json:"voters"`
	Lease  *float64    `json:"lease-ms"`
	Duties struct {
		Close  *closeFile `json:"close"`
		Return *struct{}  `json:"return"`
		Drill  *drillFile `json:"drill"`
	} `json:"duties"`
}

type voterFile struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

type closeFile struct {
	Collect []string `json:"collect"`
	Expect  []string `json:"expect"`
	Wait    *float64 `json:"wait-ms"`
	Folder  string   `json:"folder"`
	URL     string   `json:"url"`
	Every   *float64 `json:"every-ms"`
}

type drillFile struct {
	URL   string   `json:"url"`
	Count *int     `json:"count"`
	Every *float64 `json:"every-ms"`
	Marks *int     `json:"marks"`
}

type orderFile struct {
	Types   [][]string `json:"types"`
	Bulk    []string   `json:"bulk-customers"`
	Retries float64    `json:"retries"`
}

type talkFile struct {
	Listen string            `json:"listen"`
	Join   []string          `json:"join"`
	Key    string            `json:"key"`
	Via    map[string]string `json:"via"`
}

type ledgerFile struct {
	Folder   string  `json:"folder"`
	Instance string  `json:"instance"`
	Keep     float64 `json:"keep-days"`
	Period   struct {
		Every string   `json:"every"`
		Hours int      `json:"hours"`
		Zone  string   `json:"zone"`
		Grace *float64 `json:"grace-ms"`
	} `json:"period"`
	Export *exportFile `json:"export"`
}

type exportFile struct {
	Folder string   `json:"folder"`
	URL    string   `json:"url"`
	Batch  *int     `json:"batch"`
	Every  *float64 `json:"every-ms"`
}

type grpcFile struct {
	Listen  string `json:"listen"`
	Servers struct {
		PortOffset int               `json:"port-offset"`
		ByID       map[string]string `json:"by-id"`
	} `json:"servers"`
	Limits   limitsFile   `json:"limits"`
	Channels channelsFile `json:"channels"`
	Routes   []routeFile  `json:"routes"`
}

type limitsFile struct {
	Connections *int     `json:"connections"`
	PerConn     *int     `json:"calls-per-connection"`
	Calls       *int     `json:"calls"`
	PerCustomer *int     `json:"calls-per-customer"`
	Held        *int     `json:"held-kb"`
	HeldPerConn *int     `json:"held-per-connection-kb"`
	Window      *int     `json:"window-kb"`
	Metadata    *int     `json:"metadata-kb"`
	Resets      *int     `json:"resets-per-second"`
	Controls    *int     `json:"controls-per-second"`
	Handshake   *float64 `json:"handshake-ms"`
	Idle        *float64 `json:"idle-ms"`
	Half        *float64 `json:"half-ms"`
	Stuck       *float64 `json:"stuck-ms"`
	Lag         *int     `json:"lag-kb"`
}

type channelsFile struct {
	Most        *int     `json:"most"`
	Streams     *int     `json:"streams"`
	Waiting     *int     `json:"waiting"`
	Connect     *float64 `json:"connect-ms"`
	Idle        *float64 `json:"idle-ms"`
	Backoff     *float64 `json:"backoff-ms"`
	BackoffMost *float64 `json:"backoff-most-ms"`
	Ping        *float64 `json:"ping-ms"`
	PingWait    *float64 `json:"ping-wait-ms"`
}

type routeFile struct {
	Name  string `json:"name"`
	Match struct {
		Service  string          `json:"service"`
		Method   string          `json:"method"`
		Prefix   string          `json:"prefix"`
		Metadata []conditionFile `json:"metadata"`
	} `json:"match"`
	QueryType string `json:"query-type"`
	Customer  struct {
		Name     string `json:"name"`
		Metadata string `json:"metadata"`
	} `json:"customer"`
	Shard struct {
		Fixed    int    `json:"fixed"`
		Metadata string `json:"metadata"`
		Hash     string `json:"hash"`
		Blocks   int    `json:"blocks"`
	} `json:"shard"`
	About       string   `json:"about"`
	Timeout     *float64 `json:"timeout-ms"`
	TimeoutMost *float64 `json:"timeout-most-ms"`
	Message     *int     `json:"message-kb"`
	Repeat      *int     `json:"repeat-kb"`
	Hold        *int     `json:"hold-kb"`
	Commit      string   `json:"commit"`
	Work        float64  `json:"work-ms"`
	Unseen      []string `json:"unseen"`
}

type conditionFile struct {
	Key   string  `json:"key"`
	Value *string `json:"value"`
}

// valueOr is a setting's value, or its default.
func valueOr[T any](value *T, missing T) T {
	if value == nil {
		return missing
	}
	return *value
}
