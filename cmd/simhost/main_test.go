package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

const bootInfo = `{"family-info":{"cores":2,"memory-kb":9000,"blowup":8,"preemption":"drop","say":"min_rank"},` +
	`"guarantees":{"answer-slack":100000,"fall-multiple":6},"lanes":[{"name":"a","aim":1000000,` +
	`"deadline":3000000,"importance":1,"semantics":"read_like"}]}`

func helloEvent(who int) string {
	return fmt.Sprintf(`{"m":"hello","who":"server/%d","seed":%d,"boot-info":%s}`, who, who+1, bootInfo)
}

func runServe(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestRequestIsServed(t *testing.T) {
	out, err := runServe(t, `{"moment":1,"items":[`+helloEvent(0)+`,{"m":"inbound","who":"server/0","ticket":7,"class":"a","kb":5},`+
		`{"m":"result","who":"server/0","ticket":7,"status":"Ok"},{"m":"result","who":"server/0","ticket":7,"status":"Ok"}]}`)
	if err != nil || !strings.Contains(out, `{"m":"serve","who":"server/0","ticket":7}`) {
		t.Errorf("reply %s, error %v", out, err)
	}
}

func TestMalformedInputIsReported(t *testing.T) {
	for name, in := range map[string]string{
		"not JSON":          "rubbish\n",
		"unknown instance":  `{"moment":1,"items":[{"m":"fired","who":"server/9"}]}`,
		"truncated":         `{"moment":1,"items":[`,
		"settings not JSON": `{"moment":1,"items":[{"m":"hello","who":"server/0","boot-info":"x"}]}`,
	} {
		if out, err := runServe(t, in); err == nil || out != "" {
			t.Errorf("%s: reply %q, error %v", name, out, err)
		}
	}
	if out, err := runServe(t, ""); err != nil || out != "" {
		t.Errorf("end of input: reply %q, error %v", out, err)
	}
}

func TestInvalidSettingsCrashInstance(t *testing.T) {
	out, err := runServe(t, `{"moment":1,"items":[{"m":"hello","who":"server/0","boot-info":{}}]}`)
	if err != nil || !strings.Contains(out, `"m":"crash"`) || !strings.Contains(out, "Cores") {
		t.Errorf("reply %s, error %v", out, err)
	}
}

func TestPanicCrashesInstance(t *testing.T) {
	f := &fleet{instances: map[string]*instance{}}
	in := &instance{fleet: f, name: "server/0"}
	func() {
		defer in.reportPanic()
		panic("boom")
	}()
	if len(f.actions) != 1 || f.actions[0].Name != "crash" || f.actions[0].Text != "boom" {
		t.Errorf("actions %+v", f.actions)
	}
}

// TestInstancesDoNotAffectEachOther runs three servers in one process and each alone, and compares their actions.
func TestInstancesDoNotAffectEachOther(t *testing.T) {
	script := func(servers ...int) string {
		var lines []string
		for step := 0; step < 60; step++ {
			var items []string
			for _, s := range servers {
				if step == 0 {
					items = append(items, helloEvent(s))
					continue
				}
				who := fmt.Sprintf(`"who":"server/%d"`, s)
				items = append(items, fmt.Sprintf(`{"m":"inbound",%s,"ticket":%d,"class":"a","kb":5}`, who, step*10+s),
					fmt.Sprintf(`{"m":"fired",%s,"usage":{"on_cores":2}}`, who))
				if step > 5 && step%(s+2) == 0 {
					items = append(items, fmt.Sprintf(`{"m":"result",%s,"ticket":%d,"status":"Ok","wait-time":90000}`,
						who, (step-5)*10+s))
				}
			}
			lines = append(lines, fmt.Sprintf(`{"moment":%d,"items":[%s]}`, step*25000, strings.Join(items, ",")))
		}
		return strings.Join(lines, "\n") + "\n"
	}
	actionsOf := func(out string, server int) string {
		var own []string
		for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
			var reply struct{ Actions []json.RawMessage }
			if err := json.Unmarshal([]byte(line), &reply); err != nil {
				t.Fatal(err)
			}
			for _, a := range reply.Actions {
				if strings.Contains(string(a), fmt.Sprintf(`"server/%d"`, server)) {
					own = append(own, string(a))
				}
			}
		}
		return strings.Join(own, "\n")
	}
	together, err := runServe(t, script(0, 1, 2))
	if err != nil {
		t.Fatal(err)
	}
	for s := 0; s < 3; s++ {
		alone, err := runServe(t, script(s))
		if err != nil {
			t.Fatal(err)
		}
		if a, b := actionsOf(alone, s), actionsOf(together, s); a != b || len(a) < 500 {
			t.Errorf("server %d acts differently alone and with others:\n%.400s\n%.400s", s, a, b)
		}
	}
}
