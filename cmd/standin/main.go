// Command standin runs stand-ins for the model engines, the plain services and the
// platform, and experiments on them.
package main

import (
	"context"
	"os"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/stand"
)

var version = "dev"

func main() {
	os.Exit(stand.Main(context.Background(), common.NewFactory(version), os.Args))
}
