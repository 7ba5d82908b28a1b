type ViolationListener = (statement: string, subject: string) => void;

/** Counts invariant violations in this process and notifies a listener of each one. */
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

    /** Sets the function that is called with each violation. */
    setListener(listener: ViolationListener): void {
        this.listener = listener;
    }

    /** Counts a violation and notifies the listener. */
    report(statement: string, subject: string): void {
        this.violationCount += 1;
        this.listener(statement, subject);
    }
}
