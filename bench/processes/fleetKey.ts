/** Key of the fleets that the soak starts. */
export const fleetKey = "a key of the fleet that is long enough";
