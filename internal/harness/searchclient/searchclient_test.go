package searchclient

import (
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/standin/fakeservers"
)

func TestRequestIsASearch(t *testing.T) {
	search := &Search{ID: "q7", Type: "quick", Shards: Adjacent(5, 2, 6)}
	request := search.Request(t.Context(), "127.0.0.1:80", 900, true)
	assert.Equal(t, request.URL.String(), "http://127.0.0.1:80/api")
	for name, value := range map[string]string{"X-Call-Id": "q7", "X-Call-Class": "quick", "X-Budget-Ms": "900", "X-Again": "1"} {
		assert.Equal(t, request.Header.Get(name), value)
	}
	body, err := io.ReadAll(request.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), `{"segments":[{"segment":5,"boost":0.500000000},{"segment":0,"boost":0.500000000}],"text":"q7"}`)
}

func TestCompleteAnswerIsTheExpectedResult(t *testing.T) {
	search := &Search{ID: "q7", Type: "quick", Shards: []int{5, 0}}
	text := fmt.Sprintf(`{"all_in":true,"matches":[{"segment":5,"payload":%q},{"segment":0,"payload":%q}]}`,
		fakeservers.ShardResult(5, "q7"), fakeservers.ShardResult(0, "q7"))
	answer := ParseAnswer([]byte(text))
	assert.Assert(t, answer.Complete)
	assert.Equal(t, answer.Result(), search.Expected())
	assert.Equal(t, len(answer.Parts), 2)

	broken := ParseAnswer([]byte(`{"all_in":true`))
	assert.Assert(t, !broken.Complete && broken.Result() == "")
}
