export default {
    paths: ["features/**/*.feature"],
    import: ["features/steps/**/*.ts"],
    format: ["summary"],
    // Two systems of about fifteen processes each at a time.
    parallel: 2,
    tags: "not @pending-fix",
    publishQuiet: true,
};
