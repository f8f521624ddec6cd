// Package member implements the members command, which shows a host's view of its
// peer hosts.
package member

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/admin"
)

// New returns the members command.
func New(f *common.Factory) *cli.Command {
	return common.NewView(f, "members", "show a host's view of its peer hosts",
		"hyssopspindle members --settings dub-1.toml", Run)
}

// Run shows the members.
func Run(ctx context.Context, o *common.ViewOptions) error {
	var list []admin.Member
	if err := o.Factory.GetJSON(ctx, o.Admin, "/admin/members", nil, &list); err != nil {
		return err
	}
	if o.Admin.JSON {
		return o.Factory.Streams.PrintJSON(list)
	}
	rows := [][]string{{"HOST", "REGION", "ADDRESS", "STATE", "REVISION", "OPEN", "HEARD MS", "NOTE"}}
	for _, m := range list {
		rows = append(rows, []string{
			m.Name, m.Region, m.Address, m.State, strconv.FormatUint(m.Revision, 10),
			strconv.Itoa(m.InFlight), strconv.FormatInt(m.LastPacketMS, 10),
			common.TextIf(m.Leaving, "leaving ") + common.TextIf(m.Absent, "not in host list"),
		})
	}
	return o.Factory.Streams.Table(rows)
}
