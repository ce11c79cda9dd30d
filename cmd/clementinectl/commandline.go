package main

// commandLine is the command line of clementinectl.
type commandLine struct {
	connectionFlags
	Output string `short:"o" enum:"table,json,yaml" default:"table" help:"Output format: table, json or yaml."`

	Submit      submitCommand      `cmd:"" help:"Submit a batch job or a long-running watch."`
	Get         getCommand         `cmd:"" help:"Show a task."`
	List        listCommand        `cmd:"" help:"List tasks."`
	Watch       watchCommand       `cmd:"" help:"Show a task and each later change until it ends."`
	Cancel      cancelCommand      `cmd:"" help:"Stop a task for good."`
	Explain     explainCommand     `cmd:"" help:"Show the recent decisions about a task."`
	Service     serviceCommands    `cmd:"" help:"Create, show and delete services."`
	Zone        zoneCommands       `cmd:"" help:"Create availability zones and take them out of service."`
	Apply       applyCommand       `cmd:"" help:"Replace the configuration of the region."`
	Config      configCommands     `cmd:"" help:"Show or check a configuration."`
	Revisions   revisionsCommand   `cmd:"" help:"List the latest accepted configuration changes."`
	Propagation propagationCommand `cmd:"" help:"Show where a revision is not yet in force."`
	Workers     workersCommand     `cmd:"" help:"List workers."`
	Entries     entriesCommand     `cmd:"" help:"List entries."`
	History     historyCommand     `cmd:"" help:"Show what the daemons' logs say about a job or task, in order; needs no server."`
	Losses      lossesCommand      `cmd:"" help:"Show from the daemons' logs why jobs were not in time; needs no server."`
	Replay      replayCommand      `cmd:"" help:"Replay recorded traces and check their stated outcomes; needs no server."`
	Completion  completionCommand  `cmd:"" help:"Print a completion script for bash."`
	Version     versionCommand     `cmd:"" help:"Print the version."`
}

// serviceCommands groups the subcommands about services.
type serviceCommands struct {
	Create serviceCreateCommand `cmd:"" help:"Create a service."`
	Get    serviceGetCommand    `cmd:"" help:"Show a service."`
	List   serviceListCommand   `cmd:"" help:"List services."`
	Watch  serviceWatchCommand  `cmd:"" help:"Show a service and each later change."`
	Delete serviceDeleteCommand `cmd:"" help:"Delete a service."`
}

// zoneCommands groups the subcommands about availability zones.
type zoneCommands struct {
	Create zoneCreateCommand `cmd:"" help:"Create an availability zone."`
	Get    zoneGetCommand    `cmd:"" help:"Show an availability zone and what runs there."`
	List   zoneListCommand   `cmd:"" help:"List availability zones and what runs there."`
	Watch  zoneWatchCommand  `cmd:"" help:"Show a zone and each later change."`
	Delete zoneDeleteCommand `cmd:"" help:"Delete a zone that is out of service and has no workers."`
	Out    zoneOutCommand    `cmd:"" help:"Take an availability zone out of service."`
	In     zoneInCommand     `cmd:"" help:"Bring an availability zone back into service."`
}

// configCommands groups the subcommands about the configuration.
type configCommands struct {
	Get   configGetCommand   `cmd:"" help:"Show the current configuration; with -o yaml in the form that apply reads."`
	Check configCheckCommand `cmd:"" help:"Check a configuration before it is submitted; needs a server for --against REVISION only."`
}
