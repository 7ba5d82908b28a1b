/** Count of events that decays exponentially with time. */
export class MovingCount {
    private count = 0;
    private atMs = 0;

    private constructor(private readonly timeConstantMs: number) {}

    /**
     * Creates a count of zero.
     *
     * @param timeConstantMs - Time in which the count falls to 1/e.
     */
    static create(timeConstantMs: number): MovingCount {
        return new MovingCount(timeConstantMs);
    }

    /** Counts an event. */
    add(nowMs: number): void {
        this.count = this.at(nowMs) + 1;
        this.atMs = nowMs;
    }

    /** Returns the count at a time, which is not before the latest event. */
    at(nowMs: number): number {
        return this.count === 0 ? 0 : this.count * Math.exp(Math.min(0, this.atMs - nowMs) / this.timeConstantMs);
    }
}
