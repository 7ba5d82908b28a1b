type ViolationListener = (statement: string, subject: string) => void;

/** Counts violated invariants of this process and tells a listener of each. */
export class InvariantMonitor {
    private violationCount = 0;
    private listener: ViolationListener = () => undefined;

    private constructor() {}

    /** The monitor of this process. */
    static readonly shared = InvariantMonitor.create();

    /** Creates a monitor without a listener. */
    static create(): InvariantMonitor {
        return new InvariantMonitor();
    }

    /** Number of violations since the start of the process. */
    get violations(): number {
        return this.violationCount;
    }

    /** Sets who is told of each violation. */
    setListener(listener: ViolationListener): void {
        this.listener = listener;
    }

    /** Counts one violation. */
    report(statement: string, subject: string): void {
        this.violationCount += 1;
        this.listener(statement, subject);
    }
}
