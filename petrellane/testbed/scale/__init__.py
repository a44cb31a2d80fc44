"""Scale runs: many hollow gateways beside some real ones, before the same services.

Discovery and the counter have a process each, as have the control process and each real gateway;
hollow gateways share some. The testbed itself has no part in what is measured: each process
reports its own figures (`metered`), from the beginning of the steady phase to its end. Starts are
reported apart. A change is in force at a gateway when its endpoint list has it, or when it knows
the generation to be in force without a doubt; by the gateway's own clock, which on one machine is
everybody's.

    config          the run's file
    resources       what a run takes of the machine, checked before anything is started
    observations    what the processes of a run reported
    report          the figures of a run, worked out from its observations
    output          the figures as text
    runner          a run from its file to its report
"""
