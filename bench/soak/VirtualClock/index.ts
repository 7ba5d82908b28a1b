interface Scheduled {
    readonly atMs: number;
    readonly order: number;
    readonly action: () => void;
}

/** Clock of a simulated run: time passes only from one scheduled action to the next. */
export class VirtualClock {
    private readonly heap: Scheduled[] = [];
    private order = 0;
    private timeMs = 0;

    private constructor() {}

    /** Creates a clock at time 0. */
    static create(): VirtualClock {
        return new VirtualClock();
    }

    /** Current time in ms. */
    get nowMs(): number {
        return this.timeMs;
    }

    /** Schedules an action; actions with the same time run in the order in which they were scheduled. */
    at(atMs: number, action: () => void): void {
        this.heap.push({ atMs: Math.max(atMs, this.timeMs), order: this.order, action });
        this.order += 1;
        this.siftUp(this.heap.length - 1);
    }

    /** Schedules an action after a delay in ms. */
    after(delayMs: number, action: () => void): void {
        this.at(this.timeMs + delayMs, action);
    }

    /** Runs the next action; returns false if there is none. */
    runNext(): boolean {
        const next = this.heap[0];
        const last = this.heap.pop();
        if (next === undefined || last === undefined) {
            return false;
        }
        if (this.heap.length > 0) {
            this.heap[0] = last;
            this.siftDown();
        }
        this.timeMs = next.atMs;
        next.action();
        return true;
    }

    private siftUp(start: number): void {
        let index = start;
        while (index > 0) {
            const parent = Math.floor((index - 1) / 2);
            if (!this.swapIfEarlier(index, parent)) {
                return;
            }
            index = parent;
        }
    }

    private siftDown(): void {
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            const child = this.isEarlier(right, left) ? right : left;
            if (!this.swapIfEarlier(child, index)) {
                return;
            }
            index = child;
        }
    }

    private swapIfEarlier(child: number, parent: number): boolean {
        if (!this.isEarlier(child, parent)) {
            return false;
        }
        const moved = this.heap[child] as Scheduled;
        this.heap[child] = this.heap[parent] as Scheduled;
        this.heap[parent] = moved;
        return true;
    }

    private isEarlier(left: number, right: number): boolean {
        const first = this.heap[left];
        const second = this.heap[right];
        if (first === undefined || second === undefined) {
            return first !== undefined;
        }
        return first.atMs < second.atMs || (first.atMs === second.atMs && first.order < second.order);
    }
}
