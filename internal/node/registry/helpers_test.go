package registry

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/nodepb"
)

func copyMember(member *nodepb.Member) *nodepb.Member { return proto.Clone(member).(*nodepb.Member) }

func seededRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
