package registry

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

func copyMember(member *nodepb.Member) *nodepb.Member { return proto.Clone(member).(*nodepb.Member) }
