"""What a fleet of the planned size costs each role, worked out from measured slopes; free of I/O.

Inputs are the plan (sizes, budgets and estimates: benchmarks/capacity.toml), the slopes of the
scale runs (benchmarks/scale.json), figures of single messages and steps
(benchmarks/messages.json) and the report of one run at full size, each as a plain value. The
output is a list of tables, each a heading and rows of text, and a page with these tables between
its markers.

    figures        a value with the runs that it comes from
    measurements   the inputs, looked up by name
    workload       rates, bytes and processor time of the program's own steps
    costs          one line of what a role costs, and its verdict against a budget
    gateway_costs, service_costs    the lines of every role
    tables         a table of text, and the tables that list the inputs
    slope_tables   tables of the scale runs' slopes and predictions
    alternatives   tables that compare ways to divide the work
    failures       what a failure costs
    report         all tables in the order of the page
    page           tables in a page: writing and checking

Nothing is tuned here, and no size, budget or estimate is written in these modules: what is, are
the program's own steps (which messages a change takes, what a gateway does with each). What the
program is set to comes from its modules.

Units are those of the names: _ms, _s, _mb (10^6 bytes), bytes; rates are per second.
"""
