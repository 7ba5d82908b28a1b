/** Place of a waiting request of an organisation: by which start it is expected, as the share of starts that goes to it is uncertain. */
export interface PlaceInQueue {
    /** Starts before it by urgency. */
    readonly byUrgency: number;
    /** Starts before it by the turns of the less urgent; infinite if it gets none. */
    readonly byTurn: number;
    /** Share of the recent starts that went to requests of a kind that would overtake it, from 0 to 1. */
    readonly overtakingShare: number;
}
