package settings

import (
	"maps"
	"testing"
)

// TestLinesAndJSONReadTheSame reads the same settings in both forms and checks each kind of value.
func TestLinesAndJSONReadTheSame(t *testing.T) {
	text := `{"balancers":2,"classes":[{"aim-ms":4000.0,"name":"full","streaming":false}],"customers":[],"empty":{},
"family-info":{"class-need":[1.0,0.5],"places":12},"localities":["a","b"],"missing":null}`
	lines := "balancers=2\r\nclasses.0.aim-ms=4000.0\nclasses.0.name=full\nclasses.0.streaming=false\nclasses.count=1\n" +
		"customers=\nfamily-info.class-need=1.0,0.5\nfamily-info.places=12\nlocalities=a,b"
	nested, err := FromJSON([]byte(text))
	if flat := FromLines(lines); err != nil || !maps.Equal(nested, flat) {
		t.Errorf("error %v\nfrom JSON: %v\nfrom lines: %v", err, nested, flat)
	}
	if nested.Float("classes.0.aim-ms", 1) != 4000 || nested.Float("x", 7) != 7 || nested.ItemField("classes", 0, "name") != "full" ||
		nested.FloatAt("family-info.class-need", 1, 9) != 0.5 || nested.FloatAt("family-info.class-need", 2, 9) != 9 ||
		len(nested.List("customers")) != 0 || nested.Count("customers") != 0 || nested.Bool("classes.0.streaming") {
		t.Errorf("a value is not as written in the settings: %v", nested)
	}
	for _, invalid := range []string{"", "[]", `{"a":`, "3"} {
		if _, err := FromJSON([]byte(invalid)); err == nil {
			t.Errorf("FromJSON(%q) returned no error", invalid)
		}
	}
}

// FuzzSettings checks that any JSON object configures a policy without a panic or a huge list.
func FuzzSettings(f *testing.F) {
	f.Add(`{"classes":[{"aim-ms":"NaN","effect":"by_key","group":"all"},1],"family-info":{"places":-3,"span":1e300},"seed":[[]]}`)
	f.Add(`{"classes":{"count":1e9},"limits":{"attempts-cap":-1,"may-probe":"true"},"safety":{"tip-multiple":0,"further-ratio":1}}`)
	f.Fuzz(func(t *testing.T, text string) {
		v, err := FromJSON([]byte(text))
		if err != nil {
			return
		}
		if p := v.NewPolicy(nil, 1); p == nil || v.Count("classes") > maxListItems {
			t.Fatalf("policy %v, %d classes, want a policy and at most %d classes", p, v.Count("classes"), maxListItems)
		}
	})
}
