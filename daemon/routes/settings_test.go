package routes_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/daemon/routes"
)

const goodSettings = `id: "d1"
domain: "z"
listen:
  callers: "10.0.0.1:1"
  readiness: "10.0.0.1:2"
  operators: "10.0.0.1:3"
  peers: "10.0.0.1:4"
store: "10.0.0.2:5"
seeds: ["10.0.0.3:3"]
stop:
  grace: 8s
`

var _ = Describe("Settings", func() {
	It("reads a file and applies defaults", func() {
		s, err := routes.ParseSettings("f", []byte(goodSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Retry.Ratio).To(Equal(0.2))
		Expect(s.LogLevel).To(Equal("info"))
	})

	DescribeTable("reports file, line and remedy of a problem", func(from, to, want string) {
		_, err := routes.ParseSettings("f.yaml", []byte(strings.Replace(goodSettings, from, to, 1)))
		Expect(err).To(MatchError(And(ContainSubstring("f.yaml:"), ContainSubstring(want))))
	},
		Entry("no id", `id: "d1"`, `id: ""`, "name this daemon"),
		Entry("no domain", `domain: "z"`, `domain: ""`, "failure domain"),
		Entry("an address", `"10.0.0.1:2"`, `"here"`, "IP number and a port"),
		Entry("an address without a port", `"10.0.0.1:2"`, `"10.0.0.1:"`, "IP number and a port"),
		Entry("an address whose port is no number", `"10.0.0.1:2"`, `"10.0.0.1:http"`, "IP number and a port"),
		Entry("the address for peers", "stop:", "peer_address: x\nstop:", "IP number and a port"),
		Entry("a seed", `"10.0.0.3:3"`, `"x"`, "IP number and a port"),
		Entry("the store", `"10.0.0.2:5"`, `""`, "IP number and a port"),
		Entry("the grace", "8s", "0s", "such as 8s"),
		Entry("a level", "stop:", "log_level: loud\nstop:", "debug, info, warn or error"),
		Entry("the budget", "stop:", "repeat: {ratio: -1}\nstop:", "window such as 10s"),
		Entry("memory", "stop:", "memory_mb: -1\nstop:", "memory of the process"),
		Entry("descriptors", "stop:", "open_files: -1\nstop:", "descriptors the process may open"),
		Entry("the source address", "stop:", "source_address: here\nstop:", "IP number of this VM"),
		Entry("an unknown key", "stop:", "stopp: 1\nstop:", "stopp"),
	)

	It("lists all problems at once", func() {
		_, err := routes.ParseSettings("f", []byte("id: \"\"\ndomain: \"\"\n"))
		Expect(strings.Count(err.Error(), "\n")).To(BeNumerically(">=", 5))
	})

	It("accepts what the deployment template produces", func() {
		text, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
		Expect(err).NotTo(HaveOccurred())
		filled := strings.NewReplacer(
			"{{node_name|json}}", `"edge-1"`, "{{zone|json}}", `"z"`, "{{listen.front|json}}", `"10.1.0.40:8227"`,
			"{{listen.readiness|json}}", `"10.1.0.40:8220"`, "{{listen.control|json}}", `"10.1.0.40:8229"`, "{{ip}}", "10.1.0.40",
			"{{internal_port_range.0}}", "7340", "{{platform.address|json}}", `"10.200.1.7:8223"`, "{{seeds|json}}", `["10.1.0.40:8229"]`,
			"{{bounds.grace_s}}", "8", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_extra}}", "56",
			"{{bounds.budget_window_s}}", "10", "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100",
		).Replace(string(text))
		Expect(filled).NotTo(ContainSubstring("{{"))
		s, err := routes.ParseSettings("settings.yaml", []byte(filled))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Listen.Peers).To(Equal("10.1.0.40:7340"))
		Expect(s.Retry.Extra).To(Equal(56.0))
		Expect(s.Files).To(Equal(4100))
	})
})
